"""Machines stop, and the tasks that ran on them have to run again."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from region import Client, Region, play, spec  # noqa: E402
from sites import KERBREV, KERBREV_TYPES  # noqa: E402

JOB = "run-000001"
TASKS = 256
SPARE = 70
STOPPED = 49  # more/hunt/kerbrev-hunt.toml, day "loss": machine_die, count = 49
LIMIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"


async def case(record, trouble):
    region = Region(KERBREV, KERBREV_TYPES, record)
    try:
        await region.prepare()
        for i in range(TASKS):
            region.add_machine("poste", ["rennes", "brest"][i % 2])
        for node in region.nodes:
            region.start(node)
        if not await region.ready():
            return 2
        # One replica fills a machine.
        job = spec(JOB, genre="service", pieces=TASKS, cores=32.0, ramGb=60.0, dureePrevueS=0.0, pretees=False)
        answer = await region.submit(job)
        if not answer or answer[0] != 201:
            return 2
        end = time.monotonic() + 12.0
        while region.running(JOB) < TASKS and time.monotonic() < end:
            await asyncio.sleep(0.1)
        if region.running(JOB) < TASKS:
            record(f"only {region.running(JOB)} of {TASKS} replicas run")
            return 2
        # Machines that fit, with room for every replica that will be lost.
        for _ in range(SPARE):
            region.add_machine("poste", "rennes")
        await asyncio.sleep(3.0)
        if trouble:
            for machine in [m for m in region.machines.values() if m.tasks][:STOPPED]:
                record(f"machine {machine.name} stops with all that is on it")
                machine.stop()
        # The trouble is over: the job may wait for less than LIMIT_S from now on.
        over = time.monotonic()
        client, waiting_since = Client(), None
        while True:
            now = time.monotonic()
            running = region.running(JOB)
            idle = sum(1 for m in region.machines.values() if m.alive and m.up_at < now and not m.tasks)
            if running >= TASKS or idle == 0:
                waiting_since = None
            elif waiting_since is None:
                waiting_since = max(now, over)
            if int(now - over) % 10 == 0:
                answer = await region.poll(JOB, region.nodes[int(now - over) // 10 % 3], client=client)
                record(f"{running} replicas run, {idle} machines that fit are idle; user told",
                       answer and answer[0], answer and {k: v for k, v in answer[1].items() if k != "pertes"})
            if waiting_since is not None and now - waiting_since > LIMIT_S:
                record(f"{TASKS - running} replicas have been waiting for {now - waiting_since:.1f} s"
                       f" while {idle} machines that fit had room")
                return 1
            if now - over > LIMIT_S + 3.0:
                return 2 if region.ended_by_itself() else 0
            await asyncio.sleep(1.0)
    finally:
        region.stop()


play(case, os.path.join(HERE, "record.txt"))
