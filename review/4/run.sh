#!/usr/bin/env bash
exec "$(dirname "$0")/../run-standin.sh" stale_syn "$(cd "$(dirname "$0")" && pwd)"
