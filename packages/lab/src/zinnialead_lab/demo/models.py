"""Define what the demonstration holds."""

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
    """Say which deployment to show, and with which seed."""

    deployment: str
    seed: int
    examples: pathlib.Path


@dataclasses.dataclass(slots=True)
class Entry:
    """Hold one entry that runs in this process."""

    application: applications.Application
    callers_address: str
    scope: trio.CancelScope


class WorkDone(typing.NamedTuple):
    """Hold one piece of work and what its caller was told."""

    work: callers.Work
    part: str
    answer: callers.Outcome


class Check(typing.NamedTuple):
    """Say whether something that must hold did."""

    name: str
    holds: bool
    seen: str


@dataclasses.dataclass(slots=True)
class Demo:
    """Hold the whole deployment and what was seen of it."""

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
    done: list[WorkDone]
    checks: list[Check]
