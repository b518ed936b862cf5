"""Define the options, the deployment and the checks of the demonstration."""

import dataclasses
import pathlib
import random
import typing

import rich.console
import trio

import zinnialead_config
from zinnialead_core.components import tickets
from zinnialead_daemon import application as applications
from zinnialead_standins import caller as callers
from zinnialead_standins import store as stores
from zinnialead_standins import upstream as upstreams


class Options(typing.NamedTuple):
    """Hold which deployment to run, with which seed, from which folder."""

    deployment: str
    seed: int
    examples: pathlib.Path


@dataclasses.dataclass(slots=True)
class Entry:
    """Hold one entry that runs in this process."""

    application: applications.Application
    callers_address: str
    cancel_scope: trio.CancelScope


class SentWork(typing.NamedTuple):
    """Hold one piece of work, the part that sent it and its outcome."""

    work: callers.Work
    part: str
    outcome: callers.Outcome


class Check(typing.NamedTuple):
    """Hold whether a guarantee holds, and what was observed."""

    name: str
    holds: bool
    observed: str


@dataclasses.dataclass(slots=True)
class Demo:
    """Hold the running deployment, the work sent to it and the checks."""

    options: Options
    console: rich.console.Console
    random: random.Random
    nursery: trio.Nursery
    settings: zinnialead_config.Settings
    state: tickets.State
    store: stores.Store
    store_address: str
    ledger: upstreams.Ledger
    upstreams: dict[str, upstreams.Upstream]
    entries: dict[str, Entry]
    callers: dict[str, callers.Caller]
    sent_work: list[SentWork]
    checks: list[Check]
