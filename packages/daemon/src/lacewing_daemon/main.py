"""Start a daemon, a router or an agent, from its settings."""

from lacewing_daemon.reload_signal import hold_reload_signal


def main() -> None:
    """Hold SIGHUP, then load the libraries and run the command line."""
    hold_reload_signal()
    from lacewing_daemon.command import run_command

    run_command()


if __name__ == '__main__':
    main()
