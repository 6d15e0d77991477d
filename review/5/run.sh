#!/usr/bin/env bash
exec "$(dirname "$0")/../run-standin.sh" lost_synack "$(cd "$(dirname "$0")" && pwd)"
