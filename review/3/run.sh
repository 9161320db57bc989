#!/usr/bin/env bash
# Exit code: 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out.
exec "$(dirname "$0")/../support/run-case.sh" 3
