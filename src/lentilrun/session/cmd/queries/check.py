"""``lentilrun check``."""

from __future__ import annotations

import pathlib
import sys

from ....config import declaration
from ....config.findings import InvalidFileError
from ... import output
from ...exits import Exit


def check(path: str, *, json: bool = False) -> int:
    """Check an operators' file, and print all findings.

    Parameters
    ----------
    path
        The file.
    json
        Print JSON.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        declaration.parse(text, path)
    except (OSError, UnicodeDecodeError) as error:
        output.show_failure(f'{path}: {error}')
        return Exit.INVALID_FILE
    except InvalidFileError as error:
        if json:
            findings = [
                {**f._asdict(), 'place': f.place._asdict()}
                for f in error.findings
            ]
            output.show_json({'findings': findings})
        else:
            output.show_failure(str(error))
        return Exit.INVALID_FILE
    if json:
        output.show_json({'findings': []})
    else:
        sys.stdout.write('no findings\n')
    return Exit.DONE


__all__ = ['check']
