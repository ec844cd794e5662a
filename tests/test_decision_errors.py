"""An error in the decision module costs at most the request that met it."""

import asyncio

import pytest
from helpers import RecordingHost, entry
from loopback import Loopback, body, http, send_raw
from onenode import HANG, PREFILLED, STREAM, Client, Engine, chat, exchange, run_with_node, target

from lifthead.control import HEALTH_CHECK_INTERVAL, HEALTH_TIMER, WINDOW_TIMER

# By the method that raises: the answers that its request may get. An attempt whose sending could not be
# reported is repeated where another engine is left, and the end of a stream comes after its whole answer.
FINAL_STATUSES = {
    "on_request": {504},
    "on_attempt_sent": {200, 503},
    "on_first_token": {504},
    "on_attempt_ended": {200, 504},
}


def fail_once(router, method):
    """Makes the next call of a method of the decision module raise. Returns the list that notes this call."""
    working, calls = getattr(router, method), []

    def raising(*arguments):
        setattr(router, method, working)
        calls.append(arguments)
        raise OverflowError("integer division result too large for a float")

    setattr(router, method, raising)
    return calls


async def settle(node):
    """Waits until the node has no request left."""
    async with asyncio.timeout(2):
        await node.host.idle.wait()


@pytest.mark.parametrize("prompt", [100, 5000])
@pytest.mark.parametrize("method", FINAL_STATUSES)
def test_an_error_in_a_decision_costs_one_request_and_gives_it_an_answer(method, prompt):
    """Guards against review/1's second fault: an error in `on_request` closed the connection without an
    answer, and the request stayed pending, so that the process did not end after SIGTERM."""

    async def scenario(node):
        calls = fail_once(node.host.router, method)
        statuses = [(await exchange(node.address, chat(prompt, trace="met")))[0]]
        statuses += [(await exchange(node.address, chat(prompt, trace=f"n{n}")))[0] for n in range(3)]
        await settle(node)
        return len(calls), statuses, len(node.host.pending_requests)

    calls, statuses, pending = run_with_node(scenario, rd1=Engine([PREFILLED]), w1=Engine([STREAM]))
    assert (calls, statuses[1:], pending) == (1, [200] * 3, 0)
    assert statuses[0] in FINAL_STATUSES[method]


def test_an_error_after_an_attempt_has_begun_ends_the_attempt_too():
    async def scenario(node):
        router = node.host.router
        router._probe_nearby = lambda engine: 1 / 0
        status = (await exchange(node.address, chat(100)))[0]
        await settle(node)
        return status, node.host.pending_requests, router.requests

    assert run_with_node(scenario, w1=Engine([HANG])) == (504, {}, {})


def test_an_error_while_a_client_leaves_leaves_no_pending_request():
    async def scenario(node):
        calls = fail_once(node.host.router, "on_client_left")
        async with Client(node.address) as client:
            await client.send(chat(100))
            await asyncio.sleep(0.1)
        await settle(node)
        return len(calls), node.host.pending_requests, node.host.router.requests

    assert run_with_node(scenario, w1=Engine([HANG])) == (1, {}, {})


def test_an_error_in_a_requests_timer_gives_it_its_answer():
    async def scenario(node):
        sent = asyncio.create_task(exchange(node.address, chat(100, budget_ms="300")))
        await asyncio.sleep(0.1)
        router = node.host.router
        working = router.on_timer

        def failing(key):
            if key > WINDOW_TIMER | HEALTH_TIMER:
                raise ZeroDivisionError
            working(key)

        router.on_timer = failing
        status = (await sent)[0]
        await settle(node)
        return status, node.host.pending_requests

    assert run_with_node(scenario, w1=Engine([HANG])) == (504, {})


def test_an_error_in_an_update_of_the_list_leaves_the_next_one_to_be_applied():
    async def scenario(node):
        targets = [target(name, address) for name, address in node.addresses.items()]
        fail_once(node.host.router, "on_engine_list")
        node.update_engines(*targets)
        node.update_engines(*targets)
        return (await exchange(node.address, chat(100)))[0]

    assert run_with_node(scenario, w1=Engine([STREAM])) == 200


@pytest.mark.parametrize(
    ("key", "action"), [(HEALTH_TIMER, "_check_health"), (WINDOW_TIMER, "_on_window_end")]
)
def test_a_periodic_action_goes_on_after_an_error(key, action):
    """Health checks ended for good with the first error in one."""
    host = RecordingHost(entry("R1"), entry("W1"))
    fail_once(host.router, action)
    host.actions.clear()
    with pytest.raises(OverflowError):
        host.router.on_timer(key)
    interval = HEALTH_CHECK_INTERVAL if key == HEALTH_TIMER else host.router.window
    assert host.calls("set_timer") == [("set_timer", interval, key)]


@pytest.mark.parametrize("method", FINAL_STATUSES)
def test_an_error_in_a_decision_costs_one_request_of_the_daemon(tmp_path, method):
    async def scenario():
        async with Loopback(tmp_path) as loopback:
            host = loopback.daemon.host
            calls = fail_once(host.router, method)
            async with asyncio.timeout(4):
                met = await send_raw(loopback.address, http(body(model="once")))
                others = [await send_raw(loopback.address, http(body(str(n)))) for n in range(3)]
                await host.idle.wait()
            return len(calls), [int(answer.split()[1]) for answer in (met, *others)], host.pending_requests

    calls, statuses, pending = asyncio.run(scenario())
    assert (calls, statuses[1:], pending) == (1, [200] * 3, {})
    assert statuses[0] in (200, 502, 504)
