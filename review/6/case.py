"""A user asks about a job that was accepted and then cancelled while the state service answers slowly."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from region import Client, Region, play, spec  # noqa: E402
from sites import KERBREV, KERBREV_TYPES  # noqa: E402

ROUNDS = 25
# PROTOCOL: "A response usually takes under 10 ms, and now and then a few hundred."
SLOW_S = 0.3


class SlowAnswers:
    """Of one controller's requests to the state service, some take up to SLOW_S."""

    def __init__(self, region, node):
        self.node, self.job, self.longest = node, None, 0.0
        region.state.before, region.state.after = self.before, self.after
        self.reset(None)

    def reset(self, job):
        self.job = job
        self.stage = "first reading" if job else None
        self.first_held, self.release_first = asyncio.Event(), asyncio.Event()
        self.archive_read, self.release_archive = asyncio.Event(), asyncio.Event()
        self.release_second, self.second_answered = asyncio.Event(), asyncio.Event()

    async def wait(self, event):
        loop = asyncio.get_running_loop()
        start = loop.time()
        try:
            await asyncio.wait_for(event.wait(), SLOW_S)
        except asyncio.TimeoutError:
            pass
        self.longest = max(self.longest, loop.time() - start)

    async def before(self, node, method, path, query, body):
        if node is self.node and self.stage == "second reading" and query.get("prefix") == "cf/":
            self.stage = "archive"
            await self.wait(self.release_second)

    async def after(self, node, method, path, query, body, result):
        if node is not self.node or not self.job:
            return result
        if path == "/follow" and query.get("prefix") == "cf/":
            if self.stage == "first reading":
                self.stage = "second reading"
                self.first_held.set()
                await self.wait(self.release_first)
            elif self.stage == "archive" and not self.second_answered.is_set():
                asyncio.get_running_loop().call_later(0.002, self.second_answered.set)
        elif path == f"/store/ar/{self.job}" and not self.archive_read.is_set():
            self.archive_read.set()
            await self.wait(self.release_archive)
        elif path == "/follow" and query.get("prefix") == "ar/":
            await asyncio.sleep(SLOW_S / 2)
        return result


async def wait_for(event, timeout):
    try:
        await asyncio.wait_for(event.wait(), timeout)
        return True
    except asyncio.TimeoutError:
        return False


async def one_round(region, record, slow, number, trouble):
    """Returns the answer to a question that was sent after the job had been accepted, or None."""
    asked, other = region.nodes[0], region.nodes[1]
    job = f"run-{number:06}"
    ask, ask_again, user = Client(), Client(), Client()
    # "Users also ask about jobs that nobody ever submitted."
    early = asyncio.create_task(region.poll(job, asked, client=ask))
    await asyncio.sleep(0.008)
    if trouble and not early.done():
        slow.reset(job)
        if not await wait_for(slow.first_held, 1.0):
            slow.reset(None)
    answer = await region.submit(spec(job, equipe="produit", pieces=4, dureePrevueS=60.0), node=other)
    if not answer or answer[0] not in (200, 201):
        return None
    record(f"user: asks {asked.name} about {job}, which {other.name} has accepted")
    question = asyncio.create_task(region.poll(job, asked, client=ask_again))
    await asyncio.sleep(0.008)
    slow.release_first.set()
    if trouble and slow.job:
        await wait_for(slow.archive_read, 0.5)
    cancelled = await user.ask(other.address, "POST", f"/v1/jobs/{job}/withdraw", {}, timeout=5.0)
    record(f"user: {job} cancelled at {other.name}: {cancelled and cancelled[0]}"
           f" {cancelled and json.dumps(cancelled[1])}")
    slow.release_second.set()
    if trouble and slow.job:
        await wait_for(slow.second_answered, 0.5)
    await asyncio.sleep(0.002)
    slow.release_archive.set()
    answer = await question
    first = await early
    record(f"user: the question before the submission got {first and first[0]}, the one after it"
           f" {answer and answer[0]} {answer and json.dumps(answer[1])}")
    slow.reset(None)
    for client in (ask, ask_again, user):
        client.close()
    return answer


async def case(record, trouble):
    region = Region(KERBREV, KERBREV_TYPES, record)
    try:
        await region.prepare()
        for _ in range(2):
            region.add_machine("poste", "rennes")
        for node in region.nodes:
            region.start(node)
        if not await region.ready():
            return 2
        # All machines are in use, so the jobs of the rounds wait.
        fill = spec("run-900000", genre="service", pieces=2, cores=32.0, ramGb=60.0, dureePrevueS=0.0,
                    pretees=False, gabaritsMachine=["poste"])
        if not await region.submit(fill):
            return 2
        await asyncio.sleep(5.0)
        slow = SlowAnswers(region, region.nodes[0])
        answered = wrong = 0
        for number in range(1, ROUNDS + 1):
            answer = await one_round(region, record, slow, number, trouble)
            answered += answer is not None and answer[0] in (200, 404)
            if answer and answer[0] == 404:
                wrong += 1
                later = await region.poll(f"run-{number:06}", region.nodes[0])
                record(f"an accepted job got 404; asked once more: {later and later[0]}"
                       f" {later and json.dumps(later[1])}")
            await asyncio.sleep(0.3)
        record(f"{answered} questions answered, {wrong} of them with 404; longest delay of an answer of the"
               f" state service: {1000 * slow.longest:.0f} ms")
        if region.ended_by_itself() or answered < ROUNDS // 2:
            return 2
        return 1 if wrong else 0
    finally:
        region.stop()


play(case, os.path.join(HERE, "record.txt"))
