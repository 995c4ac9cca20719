#!/bin/sh
# Generates the files in this directory that the program prints: the JSON schema of the settings, the
# shell completions and the manual page.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet
program="${CARGO_TARGET_DIR:-target}/debug/aspenspring"
"$program" schema > extra/settings.schema.json
"$program" completions bash > extra/aspenspring.bash
"$program" completions zsh > extra/_aspenspring
"$program" completions fish > extra/aspenspring.fish
"$program" manual > extra/aspenspring.1
