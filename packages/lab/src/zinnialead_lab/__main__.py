"""Run the demonstration, the bench, the fuzzing or the capacity run."""

import enum
import importlib
import types
import typing

import typer

app = typer.Typer(
    help='Show, measure and fuzz zinnialead on one machine.',
    no_args_is_help=True,
)
Seed = typing.Annotated[int, typer.Option(help='Seed of all random choices.')]


class Deployment(enum.StrEnum):
    """List the deployments whose declarations are in examples/."""

    SABARMATI = 'sabarmati'
    UMUSOZI = 'umusozi'


@app.command()
def demo(
    deployment: Deployment = Deployment.SABARMATI, seed: Seed = 1
) -> None:
    """Run six failure domains on loopback in this process.

    Example: python -m zinnialead_lab demo --deployment umusozi
    """
    raise typer.Exit(_import_command('demo').main(deployment.value, seed))


@app.command()
def bench(
    seed: Seed = 1,
    short: typing.Annotated[
        bool, typer.Option(help='Run the short form, as CI does.')
    ] = False,
) -> None:
    """Compare the policy with a simple baseline on the same arrivals.

    Example: python -m zinnialead_lab bench --seed 7
    """
    raise typer.Exit(_import_command('bench').main(seed=seed, short=short))


@app.command()
def fuzz(
    seed: Seed = 1,
    steps: typing.Annotated[int, typer.Option(help='Steps of each run.')] = 60,
) -> None:
    """Fuzz several cores against an oracle of the guarantees.

    Example: python -m zinnialead_lab fuzz --seed 7 --steps 200
    """
    raise typer.Exit(_import_command('fuzz').main(seed=seed, steps=steps))


@app.command()
def capacity() -> None:
    """Measure the costs and slopes given in docs/CAPACITY.md.

    Example: python -m zinnialead_lab capacity
    """
    raise typer.Exit(_import_command('capacity').main())


@app.command()
def load(
    scenario: typing.Annotated[
        str, typer.Option(help='Name of one scenario; all by default.')
    ] = '',
    seed: Seed = 1,
) -> None:
    """Play loads on the gateway's placement and show what callers get.

    Example: python -m zinnialead_lab load --scenario short-region
    """
    raise typer.Exit(_import_command('load').main(scenario, seed))


def _import_command(name: str) -> types.ModuleType:
    module = f'zinnialead_lab.{name}'
    try:
        return importlib.import_module(module)
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
        typer.echo(f'{module} is not part of this release', err=True)
        raise typer.Exit(2) from error


if __name__ == '__main__':
    app()
