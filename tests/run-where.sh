#!/usr/bin/env bash
# Questions where a job would go (mulberrydrift where), to a real entry. Guards against an answer that
# reserves or runs something, against one that differs from where the job then goes, against a question
# that callers can ask, and against errors without a reason or with exit status 0. Expected output stands
# in run-where.expected.
cd "$(dirname "$0")/.."
ENTRIES=1
. tests/platform.sh
GUARDS=2

SERVER=127.0.0.11
job () { # tasks cpu
  printf '{"best_effort":true,"spec":"ms=30 cpu=1000","steps":[{"count":%s,"cpu":%s,"mem_mb":64,"estimated_ms":30}]}' "$1" "$2"
}
where () { # arguments...
  "$BIN/mulberrydrift" where --server "$SERVER:$METRICS" --host jobs.example --path /calc/a1 "$@" \
    > "$RUN/answer" 2> "$RUN/err"
  echo "exit $?"
}
lines () { grep -c "event=$1" "$RUN/entry-1.log"; }
placed () { [ "$(lines run-placed)" -ge "$1" ]; }
free_cpu () { # of the workers, as the entry sees them
  where --json "$RUN/job.json" > /dev/null
  grep -o '"free_cpu":[0-9]*' "$RUN/answer" | sort | tr '\n' ' '
}

run () {
start_platform
job 3 1000 > "$RUN/job.json"

echo "== a job that would be admitted"
where "$RUN/job.json"
sed -E 's/[0-9]+ ms ago/N ms ago/' "$RUN/answer" | grep -E '^(queue|configuration|admission)'
grep -cE "^  task [0-2] -> guard-[0-9] wait_ms=0 .*near=none near_wait_ms=0 report_age_ms=" "$RUN/answer"
grep -cE '^    guard-[0-9] .* safe ' "$RUN/answer"
where --json "$RUN/job.json"
grep -o '"decision":"[a-z]*"' "$RUN/answer"

echo "== nothing stays"
before=$(free_cpu)
for _ in $(seq 20); do where "$RUN/job.json" > /dev/null; done
[ "$(free_cpu)" = "$before" ] && echo "capacity unchanged"
echo "placed $(lines run-placed), admitted $(lines job-admitted), answered $(lines job-answered)"

echo "== the job goes where it was said"
said=$(sed -n 's/^  task [0-9]* -> \([^ ]*\) .*/\1/p' <(where "$RUN/job.json"; cat "$RUN/answer") | sort | tr '\n' ' ')
post a1 "$(cat "$RUN/job.json")" | grep -o '200$'
wait_for 5 placed 3 || echo "not placed"
went=$(sed -n 's/.*event=run-placed.* guard=\([^ ]*\) .*/\1/p' "$RUN/entry-1.log" | sort | tr '\n' ' ')
[ -n "$said" ] && [ "$said" = "$went" ] && echo "same guards" || echo "said $said, went $went"
grep -c 'event=run-placed.* near=none near_wait_ms=0$' "$RUN/entry-1.log"

echo "== jobs that are not possible"
job 1 999000 > "$RUN/wide.json"
where "$RUN/wide.json"
grep '^admission' "$RUN/answer"
job 4000 1000 > "$RUN/many.json"
where "$RUN/many.json"
sed "s/$SERVER:$METRICS/SERVER/" "$RUN/err"
sed 's/"best_effort":true,//' "$RUN/job.json" > "$RUN/stored.json"
where "$RUN/stored.json"
sed "s/$SERVER:$METRICS/SERVER/" "$RUN/err"
where --path /other/a1 "$RUN/job.json"
sed "s/$SERVER:$METRICS/SERVER/" "$RUN/err"

echo "== files and servers that are not what they should be"
echo '{"best_effort":' > "$RUN/broken.json"
where "$RUN/broken.json"
sed "s|$RUN|RUN|" "$RUN/err"
where "$RUN/absent.json"
sed "s|$RUN|RUN|" "$RUN/err"
echo '{"steps":7}' > "$RUN/strange.json"
where "$RUN/strange.json"
grep -c . "$RUN/err"
where
METRICS=1 where "$RUN/job.json"
grep -c . "$RUN/err"

echo "== callers and probes cannot ask"
for port in "$CALLERS" "$READY"; do
  curl -s -m 2 -w ' %{http_code}\n' --data-binary @"$RUN/job.json" \
    "http://$SERVER:$port/where?path=/calc/a1&host=jobs.example" > "$RUN/answer"
  grep -o '[0-9]*$' "$RUN/answer"
  grep -c admission "$RUN/answer"
done
curl -s -m 2 -w ' %{http_code}\n' "http://$SERVER:$METRICS/where?path=/calc/a1"
echo "admitted $(lines job-admitted)"
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-where.expected; exit; fi
diff -u tests/run-where.expected "$RUN/out" || { KEEP=1; exit 1; }
