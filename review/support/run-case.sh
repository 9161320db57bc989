#!/usr/bin/env bash
# Plays one case: run-case.sh NUMBER. Starts the scene, which starts the nodes
# with the command of the deploy file and ends them.
# Exit code: 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
scene=target/review/scene-$1
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x "$scene" ] || [ ! -x "${command%% *}" ]; then
  echo "build first: the line build of deploy/system.toml, review/build.sh" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
# The words of the command are split at spaces, as the platform does.
# shellcheck disable=SC2086
timeout -k 1 118 "$scene" "$directory" "review/$1/record.txt" $command
result=$?
rm -rf "$directory"
if [ "$result" -ne 0 ] && [ "$result" -ne 1 ]; then
  exit 2
fi
exit "$result"
