#!/usr/bin/env bash
# Tests scripts/judge_tests: CI passes over exactly the tests that are listed as known failures.
# Usage: tests/judge_tests_test.sh FOLDER (for scratch files)
set -euo pipefail
judge="$(cd "$(dirname "$0")/.." && pwd)/scripts/judge_tests"
folder=$(mktemp -d "$1/judge.XXXXXX")
trap 'rm -r "$folder"' EXIT
errors=0

# Compares the verdict of a run with what is wanted: expect NAME WANTED STATUS OUTPUT LIST
expect() {
    printf '%b' "$4" > "$folder/output"
    printf '%b' "$5" > "$folder/list"
    local got=0
    "$judge" "$3" "$folder/output" "$folder/list" > /dev/null || got=$?
    if [ "$got" != "$2" ]; then
        echo "$1: ended with $got, wanted $2"
        errors=$((errors + 1))
    fi
}

one_failed='[  FAILED  ] a_test.one (3 ms)\n 1 FAILED TEST\n***Failed\n'
expect "all passed, nothing listed" 0 0 '100% tests passed\n' ''
expect "all passed, one listed" 0 0 '100% tests passed\n' 'a_test.one: cause\n'
expect "a listed test failed" 0 8 "$one_failed" 'a_test.one: cause\n'
expect "a test failed, nothing listed" 8 8 "$one_failed" ''
expect "another test failed" 8 8 "$one_failed" 'a_test.other: cause\n'
expect "a name that begins like a listed one" 8 8 "$one_failed" 'a_test.one_more: cause\n'
expect "a program crashed" 8 8 '***Exception: SegFault\n' 'a_test.one: cause\n'
expect "a listed test failed, another program crashed" 8 8 "$one_failed***Exception: SegFault\n" 'a_test.one: cause\n'
[ "$errors" = 0 ] && echo "8 passed, 0 failed"
exit "$errors"
