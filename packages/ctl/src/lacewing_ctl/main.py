"""Read the command line of operators and run one query or command."""

import fire

from lacewing_ctl._queries.status import status


def main() -> None:
    """Read the command line."""
    fire.Fire({'status': status}, name='lacewingctl')


if __name__ == '__main__':
    main()
