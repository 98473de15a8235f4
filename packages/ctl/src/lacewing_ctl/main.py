"""Run the command line interface of operators."""

import fire

from lacewing_ctl._commands import draft
from lacewing_ctl._commands import keys
from lacewing_ctl._commands import roll
from lacewing_ctl._queries import bundle
from lacewing_ctl._queries.audit import audit
from lacewing_ctl._queries.explain import explain
from lacewing_ctl._queries.placement import placement
from lacewing_ctl._queries.status import status

_BUNDLE_COMMANDS = {
    'new': draft.new,
    'edit': draft.edit,
    'validate': bundle.validate,
    'diff': bundle.diff,
    'sign': draft.sign,
    'roll': roll.roll,
    'rollback': roll.rollback,
    'history': bundle.history,
    'show': bundle.show,
    'enter-audit': roll.enter_audit,
}
_COMMANDS = {
    'status': status,
    'bundle': _BUNDLE_COMMANDS,
    'keys': {'new': keys.new},
    'audit': audit,
    'placement': placement,
    'explain': explain,
}


def main() -> None:
    """Run the command line interface."""
    fire.Fire(_COMMANDS, name='lacewingctl')


if __name__ == '__main__':
    main()
