"""Services fill some pools; a background job has to run where there is room."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from region import Client, Region, play, spec  # noqa: E402
from sites import KERBREV_FIRST, KERBREV_TYPES  # noqa: E402

JOB, TASKS = "run-000001", 4
BEFORE = "run-000300"
FACTOR = 3  # job_burst, factor = 3.0
LIMIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"


def room(machine, job):
    """How many of the job's tasks still fit on the machine."""
    if not machine.alive or machine.up_at > time.monotonic():
        return 0
    cores, memory = machine.used()
    return int(min((machine.kind["cores"] - cores) / job["cores"], (machine.kind["ramGb"] - memory) / job["ramGb"]))


async def case(record, trouble):
    region = Region(KERBREV_FIRST, KERBREV_TYPES, record)
    region.run_s = lambda key: 8.0 if key[0].startswith(BEFORE) else 20.0
    try:
        await region.prepare()
        for zone in ("lorient", "rennes", "brest"):
            region.add_machine("lourd", zone)
        region.add_machine("poste", "rennes")
        for node in region.nodes:
            region.start(node)
        if not await region.ready():
            return 2
        # A small service keeps the smaller machine in use, so that it is not returned while it has room.
        services = [spec("run-000100", genre="service", cores=1.0, ramGb=1.0, dureePrevueS=0.0,
                         gabaritsMachine=["poste"])]
        # Services that each take nearly a whole `lourd`: one, or, with the disruption, three times as many.
        for i in range(FACTOR if trouble else 1):
            services.append(spec(f"run-00020{i}", lot="portail", equipe="juristes", genre="service", cores=62.0,
                                 ramGb=20.0, dureePrevueS=0.0, pretees=False, gabaritsMachine=["lourd"]))
        for service in services:
            answer = await region.submit(service)
            if not answer or answer[0] != 201:
                return 2
        # Work that leaves no room on the smaller machine for some seconds.
        services.append(spec(BEFORE, pieces=1, cores=30.0, ramGb=40.0, dureePrevueS=8.0, gabaritsMachine=["poste"]))
        answer = await region.submit(services[-1])
        if not answer or answer[0] != 201:
            return 2
        # The trouble is over: no more services come.
        end = time.monotonic() + 12.0
        while any(region.running(s["uid"]) == 0 for s in services) and time.monotonic() < end:
            await asyncio.sleep(0.1)
        if any(region.running(s["uid"]) == 0 for s in services):
            return 2
        job = spec(JOB, lot="traduction", equipe="support", urgence="best_effort", pieces=TASKS, cores=4.0,
                   ramGb=3.5, dureePrevueS=20.0)
        answer = await region.submit(job)
        if not answer or answer[0] != 201:
            return 2
        client, accepted, waiting_since = Client(), time.monotonic(), None
        while True:
            now = time.monotonic()
            begun = region.running(JOB) + len(region.done_pieces.get(JOB, ()))
            places = {m.name: room(m, job) for m in region.machines.values() if room(m, job) > 0}
            if sum(places.values()) < TASKS - begun:
                waiting_since = None
            elif waiting_since is None:
                waiting_since = now
            if int(now - accepted) % 10 == 0:
                answer = await region.poll(JOB, region.nodes[int(now - accepted) // 10 % 3], client=client)
                record(f"{begun} of {TASKS} tasks have begun; room for its tasks: {places}; user told",
                       answer and answer[0], answer and answer[1])
            if begun == TASKS:
                record(f"all tasks have begun {now - accepted:.1f} s after the job was accepted")
                return 2 if region.ended_by_itself() else 0
            if waiting_since is not None and now - waiting_since > LIMIT_S:
                record(f"{TASKS - begun} tasks have been waiting for {now - waiting_since:.1f} s"
                       f" while {places} had room")
                return 1
            await asyncio.sleep(1.0)
    finally:
        region.stop()


play(case, os.path.join(HERE, "record.txt"))
