#!/bin/bash
# Builds the stand-ins of the review's scripts into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
