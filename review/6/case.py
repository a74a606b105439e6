"""Many machines stop at once; the team has to be told which of its runs were lost."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from region import Client, Region, play, spec  # noqa: E402
from sites import SOLSOCIAL_GROWN, SOLSOCIAL_TYPES  # noqa: E402

JOB, TEAM = "run-000001", "laboratorio-03"
TASKS = 200  # more/fleet/LATER.md, next/LATER.md: `armonicos`, arrays of up to 200 tasks
MACHINES = 26


async def told(region, client, node):
    """Every lost run that the team is told of: its log of losses, and what its job's state says."""
    runs, since, more = set(), 0, True
    while more:
        answer = await client.ask(node.address, "GET", f"/v1/teams/{TEAM}/losses?since={since}")
        if not answer or answer[0] != 200:
            return None
        runs |= {(loss["piece"], loss["essai"]) for loss in answer[1]["pertes"]}
        more, since = answer[1]["encore"], answer[1]["suite"]
    answer = await region.poll(JOB, node, client=client)
    if not answer or answer[0] != 200:
        return None
    losses = answer[1].get("pertes") or {}
    runs |= {(loss["piece"], loss["essai"]) for loss in losses.get("recentes", [])}
    return runs, losses.get("total", 0)


async def case(record, trouble):
    region = Region(SOLSOCIAL_GROWN, SOLSOCIAL_TYPES, record)
    region.run_s = lambda key: 600.0
    try:
        await region.prepare()
        for _ in range(MACHINES):
            region.add_machine("servidor", "sede")
        for node in region.nodes:
            region.start(node)
        if not await region.ready():
            return 2
        job = spec(JOB, lot="armonicos", equipe=TEAM, urgence="best_effort", pieces=TASKS, ramGb=7.1,
                   dureePrevueS=600.0, intervalleSauvegardeS=20.0, dureeSauvegardeS=2.0)
        answer = await region.submit(job)
        if not answer or answer[0] != 201:
            return 2
        end = time.monotonic() + 20.0
        while region.running(JOB) < TASKS and time.monotonic() < end:
            await asyncio.sleep(0.1)
        if region.running(JOB) < TASKS:
            return 2
        await asyncio.sleep(1.0)
        if trouble:
            for machine in [m for m in region.machines.values() if m.tasks]:
                record(f"machine {machine.name} stops with all that is on it")
                machine.stop()
        client, node = Client(), region.nodes[0]
        while record.now() < 112.0:
            await asyncio.sleep(5.0)
            answer = await told(region, client, node)
            if answer:
                runs, total = answer
                lost = {(piece, essai) for piece, essai, _ in region.lost}
                record(f"lost runs: {len(lost)}; the controllers count {total} and name {len(runs & lost)};"
                       f" {region.running(JOB)} tasks run again")
                if trouble and lost and lost <= runs:
                    return 0
        if not answer or region.ended_by_itself():
            return 2
        if trouble and not lost:
            return 2
        for piece, essai, machine in sorted(region.lost):
            if (piece, essai) not in runs:
                record(f"nobody was told that attempt {essai} of {piece} was lost with {machine}")
        return 1 if lost - runs else 0
    finally:
        region.stop()


play(case, os.path.join(HERE, "record.txt"))
