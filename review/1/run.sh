#!/usr/bin/env bash
exec "$(dirname "$0")/../run-standin.sh" frozen "$(cd "$(dirname "$0")" && pwd)"
