#!/bin/sh
exec sh "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" Halves
