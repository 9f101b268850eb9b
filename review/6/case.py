"""CONFIG: hosts keep an old configuration if the store's revisions are large."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import fleet  # noqa: E402
import moved_route  # noqa: E402

# A counter that began with the microseconds of the Unix time.
LARGE_FIRST_REVISION = 1_764_547_200_000_000


def case(record, trouble):
    first = LARGE_FIRST_REVISION if trouble else fleet.USUAL_FIRST_REVISION
    return moved_route.play(record, 5, first, {})


fleet.run_case(case, FOLDER)
