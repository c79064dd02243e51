#ifndef MAGNOLIADOCK_BENCH_PACK_H
#define MAGNOLIADOCK_BENCH_PACK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     bench_pack - simulation of the packing rules on the workers of the
                  deployments Carta and Authority */

/* Simulates each rule RUNS times, with SEED, SEED+1, ..., and returns the
   means as a new JSON array; prints them as a table unless QUIET.  */
json_t *bench_pack (bool quiet, uint32_t runs, uint32_t seed);

#endif
