Feature: Long generations arrive whole
  A caller gets every token of the answer once, whatever engine serves it.

  Scenario: A generation passes through an entry instance
    Given a deployment with 2 instances and 2 engines
    When a caller asks for 30 tokens about "ceiling fans"
    Then the caller receives the whole answer

  Scenario: The engine of a running generation is killed
    Given a deployment with 2 instances and 3 engines
    When a caller asks for 60 tokens about "a week of orders" and its engine is killed
    Then the caller receives the whole answer
