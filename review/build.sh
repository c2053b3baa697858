#!/usr/bin/env bash
# Builds the stand-ins and the clients that the cases start. Needs no network beyond the modules that the
# deploy build uses.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/lab ./review/lab
