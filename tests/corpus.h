/* corpus.h -- the committed inputs of the fuzzer's targets */

#ifndef MD_TEST_CORPUS_H
#define MD_TEST_CORPUS_H

#include "fuzz/targets.h"

/* corpus_each: call run with each input in tests/fuzz/corpus/NAME. An input of more than max_bytes is
   not read to its end, which run checks. The working directory is the root of the tree. Returns the
   number of inputs; fails the test when one cannot be read. */
unsigned corpus_each (const FuzzTarget *target, size_t max_bytes,
                      void (*run) (const FuzzTarget *target, const char *path, MdStr input));

#endif
