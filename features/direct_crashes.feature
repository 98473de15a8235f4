Feature: What crashes upstreams is not sent to one after the other

  Rule: A request under which three upstreams ended is kept from the rest

    Scenario Outline: A request that crashes upstreams comes again and again
      # Engines ended in series, up to five within 1.2 seconds, and 53 were
      # started in 100 seconds in place of five. One request crashed each
      # engine that began to run it. Routers sent it on as if its engine had
      # failed for a reason of its own ("i-e767879241 stream_broken 336 ms",
      # then "i-fb8d44fd1a stream_broken 186 ms" for one request), and its
      # caller came back to any router under a new id. No router kept what had
      # become of the same request before, and none told another one: it ended
      # 21 engines, and was sent to engines eleven times more after three had
      # ended. Hundreds of streams broke off that merely ran beside it.
      Given a store with a configuration
      And 5 upstreams of "<service>" that come back after a crash
      And 3 direct routers
      When callers send what crashes them to "<path>" until 3 have crashed
      And it comes again to "<path>" 9 times after 3 seconds
      Then it reaches at most 3 more upstreams

      Examples:
        | service  | path            |
        | models   | /chat/1         |
        | models   | /talk/1         |
        | registry | /records/1      |
        | registry | /certificates/1 |
