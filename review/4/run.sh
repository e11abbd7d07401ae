#!/usr/bin/env bash
# Usage: run.sh; TROUBLE=0 leaves out the disruption. Writes record.txt beside this file.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" LeavingAnnounced "$here"
