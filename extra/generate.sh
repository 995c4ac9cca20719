#!/bin/sh
# Writes the files beside this one that are made from the program itself.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet
program="${CARGO_TARGET_DIR:-target}/debug/aspenspring"
"$program" schema > extra/settings.schema.json
"$program" completions bash > extra/aspenspring.bash
"$program" completions zsh > extra/_aspenspring
"$program" completions fish > extra/aspenspring.fish
"$program" manual > extra/aspenspring.1
