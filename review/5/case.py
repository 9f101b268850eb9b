"""CONFIG: hosts refuse a whole configuration for one large limit."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import fleet  # noqa: E402
import moved_route  # noqa: E402

LARGE_LIMIT = {"max_body_bytes": 2 << 30}


def case(record, trouble):
    limits = LARGE_LIMIT if trouble else {}
    return moved_route.play(record, 4, fleet.USUAL_FIRST_REVISION, limits)


fleet.run_case(case, FOLDER)
