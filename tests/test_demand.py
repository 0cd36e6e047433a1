"""Tests for hourly demand, over several nodes and weeks and with lost replies."""

import anyio
import virtual_time

from dogwoodgap import clock, demand, objectstore, profiles
from dogwoodgap_lab import objects


def test_demand_of_nodes_is_added_once_although_replies_are_lost():
    """Guards against lost or double counts when writes race and replies are lost."""

    async def main():
        clock.set_wall_time(1_700_000_000.0)
        table = objects.MemoryObjectStore(seed=5)
        table.faults.lost_replies = 0.4
        totals = [{"llm": 0}, {"llm": 0}]
        recorders = [
            demand.DemandRecorder(table, lambda n=n: totals[n], objectstore.RateBucket(100.0, 4.0))
            for n in range(2)
        ]
        for step in range(1, 20):
            for number, recorder in enumerate(recorders):
                totals[number]["llm"] = step * (number + 1)
                recorder.count()
            async with anyio.create_task_group() as tasks:
                for recorder in recorders:
                    tasks.start_soon(recorder.flush)
        table.faults.lost_replies = 0.0
        for recorder in recorders:
            await recorder.flush()
        document = demand.decode(await table.get(demand.demand_key("llm")))
        assert sum(document.hours.values()) == 19 * 3

    virtual_time.run(main)


def test_evening_peak_is_proposed_after_a_week_and_old_hours_are_dropped():
    """Guards against proposals from too little data and against unbounded growth of the object."""

    async def main():
        table = objects.MemoryObjectStore()
        recorder = demand.DemandRecorder(table, dict, objectstore.RateBucket(1e6, 1e6))
        reader = demand.DemandReader(table)
        for day in range(70):
            if day == 3:
                assert await reader.peak("llm", "UTC") is None
            for hour in range(24):
                recorder.pending.setdefault("llm", {})
                counts = recorder.pending["llm"]
                counts[day * 24 + hour] = 90 if 18 <= hour < 21 else 5
            await recorder.flush()
        peak = await reader.peak("llm", "UTC")
        assert (peak.start_hour, peak.end_hour) == (18, 21)
        document = demand.decode(await table.get(demand.demand_key("llm")))
        assert len(document.hours) <= profiles.RETAINED_WEEKS * 7 * 24

    virtual_time.run(main)
