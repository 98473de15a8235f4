"""Name the loads on which rules are weighed."""

from collections.abc import Mapping
from dataclasses import replace

from lacewing_bench.crash_parts._load import Load

LOADS: Mapping[str, Load] = {
    'one router, 5 upstreams': Load(routers=1),
    '4 routers, 5 upstreams': Load(),
    'the first part': Load(middle=False),
    'as many sound ones': Load(ratio=1.0),
    '50 times as many': Load(ratio=50.0),
    'two such parts': Load(culprits=(('part-bad',), ('part-worse',))),
    'two together': Load(culprits=(('part-bad', 'part-worse'),)),
    'crashes by themselves': Load(culprits=(), stray_crash_s=1.0),
    'and a rare part': Load(rare_s=4.0, stray_crash_s=2.0),
    'rare': Load(rare_s=5.0, duration_s=60.0),
    'killed routers': Load(killed_s=0.5),
    '22 routers, 22 upstreams': Load(routers=22, upstreams=22),
    '330 routers, 890 upstreams': Load(
        routers=330, upstreams=890, duration_s=8.0, ratio=50.0
    ),
}
WAVES = Load(
    routers=25,
    upstreams=23,
    sound_per_upstream=40 / 23,
    duration_s=16.0,
    culprits=(),
    first_parts=4,
    middle_parts=449,
    single=0.0,
    waves=3,
    report_spread_s=0.1,
)
SLOW_WAVES = replace(
    WAVES, sound_per_upstream=120 / 23, first_event_s=(0.2, 1.0)
)
BAD = Load().culprits
WAVE_LOADS: Mapping[str, Load] = {
    'waves': WAVES,
    'waves, slow first events': SLOW_WAVES,
    'waves within 0.3 s': replace(WAVES, wave_spread_s=0.3),
    'waves, long queues': replace(SLOW_WAVES, first_event_s=(0.5, 2.0)),
    'waves of 20 percent, long queues': replace(
        SLOW_WAVES, first_event_s=(0.5, 2.0), wave_share=0.2
    ),
    'waves, clocks 0.1 s off': replace(WAVES, skew_s=0.1),
    'waves, clocks 10 s off': replace(WAVES, skew_s=10.0),
    'waves and a part': replace(WAVES, culprits=BAD),
    'a part without waves': replace(WAVES, culprits=BAD, waves=0),
    'waves and a part, one router': replace(WAVES, culprits=BAD, routers=1),
    'waves and a part, 12 a second': replace(
        SLOW_WAVES, culprits=BAD, first_event_s=WAVES.first_event_s
    ),
    'waves and a rare part': replace(WAVES, culprits=BAD, rare_s=2.0),
    'waves and two parts': replace(
        WAVES, culprits=(('part-bad',), ('part-worse',))
    ),
    'two parts without waves': replace(
        WAVES, culprits=(('part-bad',), ('part-worse',)), waves=0
    ),
    'three parts, 80 upstreams': Load(
        routers=25,
        upstreams=80,
        ratio=20.0,
        culprits=(('part-bad',), ('part-worse',), ('part-worst',)),
        duration_s=12.0,
    ),
    'a part that turns, without waves': replace(
        WAVES, culprits=BAD, turned_s=6.4, waves=0
    ),
    'waves and a part that turns': replace(WAVES, culprits=BAD, turned_s=6.4),
}
