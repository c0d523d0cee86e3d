/* targets.h -- decoders of input from outside, each as a function of one input

   tests/fuzz/main.c runs one of them under libFuzzer; tests/test-corpus.c runs each with the inputs
   in tests/fuzz/corpus/NAME; tests/test-alloc.c runs them with failing allocations. */

#ifndef MD_FUZZ_TARGETS_H
#define MD_FUZZ_TARGETS_H

#include "md-private.h"

typedef struct
{
  const char *name;          /* of the target and of the folder with its inputs */
  void (*run) (MdStr input); /* decodes the input and frees everything again */
} FuzzTarget;

/* All targets, ended by a NULL name. */
extern const FuzzTarget fuzz_targets[];

/* fuzz_find: the target of a name, NULL if there is none. */
const FuzzTarget *fuzz_find (const char *name);

/* fuzz_fail: report a broken rule and end the process with SIGILL. */
_Noreturn void fuzz_fail (const char *file, int line, const char *rule);
#define FUZZ_CHECK(rule)                                                                           \
  do                                                                                               \
    {                                                                                              \
      if (!(rule))                                                                                 \
        fuzz_fail (__FILE__, __LINE__, #rule);                                                     \
    }                                                                                              \
  while (0)

/* What a target has decoded, for a comparison of two runs with the same input. */
typedef struct
{
  uint64_t digest; /* of what was decoded, in order */
  bool refused;    /* the input or a part of it was refused with an error */
} FuzzOutcome;

extern FuzzOutcome fuzz_outcome;

/* While set, allocations are not made to fail: the target prepares or checks. */
extern bool fuzz_preparing;

/* fuzz_decoded, fuzz_decoded_text: add to fuzz_outcome.digest. */
void fuzz_decoded (const void *data, size_t len);
void fuzz_decoded_text (const char *text);

/* fuzz_result: note the result of a decoder; other than MD_OK, the input was refused. */
void fuzz_result (int rc);

/* fuzz_text_file: path of a file in memory that holds the input, for commands that read a file.
   Valid until the next call. */
const char *fuzz_text_file (MdStr input);

/* fuzz_silence: send standard output, to which some targets print, to /dev/null. */
void fuzz_silence (void);

/* Callers' jobs, the platform's messages (targets-platform.c). */
void fuzz_caller (MdStr input);
void fuzz_worker_report (MdStr input);
void fuzz_worker_record (MdStr input);
void fuzz_worker_start (MdStr input);
void fuzz_worker_hold (MdStr input);
void fuzz_advice (MdStr input);
void fuzz_store_newest (MdStr input);
void fuzz_store_read (MdStr input);
void fuzz_store_entry (MdStr input);
void fuzz_routes (MdStr input);

/* Frames, jobs of entry, settings, declared resources, members (targets-records.c). */
void fuzz_frame (MdStr input);
void fuzz_job (MdStr input);
void fuzz_settings (MdStr input);
void fuzz_spec (MdStr input);
void fuzz_resources (MdStr input);
void fuzz_changes (MdStr input);
void fuzz_snapshot (MdStr input);
void fuzz_members (MdStr input);
void fuzz_members_snapshot (MdStr input);

/* Traces and logs (targets-text.c). */
void fuzz_replay (MdStr input);
void fuzz_explain (MdStr input);
void fuzz_simulate (MdStr input);

/* Streams of frames that run-entry and run-guard receive (targets-links.c). */
void fuzz_entry_frames (MdStr input);
void fuzz_guard_frames (MdStr input);

#endif
