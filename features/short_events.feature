Feature: Streams of short events are split in time

  Scenario Outline: Many short events arrive at once
    # Guards against a router that stands still for seconds: an upstream sends
    # short events or comments without end, and each of them has the rest of
    # what arrived searched again.
    When 262144 bytes of <what> arrive at once
    Then they are split whole and in order within 0.5 s

    Examples: lines
      | what                   |
      | comments               |
      | events                 |
      | events that end in CRs |
