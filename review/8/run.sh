#!/bin/bash
CASE=8
. "$(dirname "$0")/../lib2/case.sh"
