"""The only machine with room stops; a machine has to be rented for the work that was on it."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from region import Client, Region, play, spec  # noqa: E402
from sites import KERBREV_FIRST, KERBREV_TYPES  # noqa: E402

JOB, TASKS, RUN_S = "run-000001", 4, 40.0
LIMIT_S = 90.0  # "no job is left waiting for 90 s"; a `poste` boots in 15 s, 0.6 to 1.5 times that


async def case(record, trouble):
    region = Region(KERBREV_FIRST, KERBREV_TYPES, record)
    region.run_s = lambda key: RUN_S
    # What the cloud still has, by sites/kerbrev.toml: 10 and 9 ordinary machines and as many spot ones or fewer.
    region.capacity = {("poste", "rennes"): 9, ("poste", "brest"): 9}
    try:
        await region.prepare()
        zones = ["lorient", "vannes"]
        for zone in zones:
            region.add_machine("lourd", zone)
        machine = region.add_machine("poste", "rennes")
        for node in region.nodes:
            region.start(node)
        if not await region.ready():
            return 2
        # Each of the two larger machines is taken by a service.
        services = [spec(f"run-00020{i}", lot="portail", equipe="juristes", genre="service", cores=62.0, ramGb=20.0,
                         dureePrevueS=0.0, pretees=False, gabaritsMachine=["lourd"], site=zone)
                    for i, zone in enumerate(zones)]
        job = spec(JOB, lot="rendu", equipe="support", pieces=TASKS, cores=4.0, ramGb=5.3, dureePrevueS=RUN_S)
        for one in services + [job]:
            answer = await region.submit(one)
            if not answer or answer[0] != 201:
                return 2
            end = time.monotonic() + 10.0
            while region.running(one["uid"]) < one["pieces"] and time.monotonic() < end:
                await asyncio.sleep(0.1)
            if region.running(one["uid"]) < one["pieces"]:
                return 2
        rented_before = len(region.rented)
        if not any(key[0].startswith(JOB) for key in machine.tasks):
            return 2
        if trouble:
            record(f"machine {machine.name} stops with all that is on it")
            machine.stop()
        over, client = time.monotonic(), Client()
        while True:
            now = time.monotonic()
            begun = region.running(JOB) + len(region.done_pieces.get(JOB, ()))
            if int(now - over) % 10 == 0:
                answer = await region.poll(JOB, region.nodes[int(now - over) // 10 % 3], client=client)
                record(f"{begun} of {TASKS} tasks run or are done; machines rented since: "
                       f"{len(region.rented) - rented_before}; user told", answer and answer[0],
                       answer and {k: v for k, v in (answer[1] or {}).items() if k != "pertes"})
            if begun == TASKS and now - over > 1.0 and (trouble or len(region.done_pieces.get(JOB, ())) == TASKS):
                return 2 if region.ended_by_itself() else 0
            if now - over > LIMIT_S:
                record(f"{TASKS - begun} of {TASKS} tasks have been waiting for {now - over:.1f} s;"
                       f" machines rented since: {len(region.rented) - rented_before}")
                return 1 if begun < TASKS else 0
            await asyncio.sleep(1.0)
    finally:
        region.stop()


play(case, os.path.join(HERE, "record.txt"))
