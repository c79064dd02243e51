#ifndef MAGNOLIADOCK_NUMBER_H
#define MAGNOLIADOCK_NUMBER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     number - reads numbers that other processes wrote

   The conversion of a number that does not fit to an integer type is undefined
   or wraps around, and sums of such numbers overflow.  A number outside its
   bounds is therefore unreadable, never clamped.  */

/* Largest bound: a double holds each whole number up to it, and sums of a
   thousand such numbers still fit in an int64_t.  */
#define NUMBER_MAX ((int64_t)1 << 53)
/* About 30 years.  */
#define NUMBER_MAX_DURATION_MS ((int64_t)1000000000000)
/* The start of the year 2100 in Unix time.  */
#define NUMBER_MAX_WALL_MS ((int64_t)4102444800000)

/* Reads VALUE into *NUMBER, a fraction cut off.  Returns false, and leaves
   *NUMBER as it is, unless VALUE is a number between MIN and MAX, which are
   within +/-NUMBER_MAX.  */
bool number_read (const json_t *value, int64_t min, int64_t max,
                  int64_t *number);
/* The same for the member KEY of OBJECT.  If there is none, returns true and
   leaves *NUMBER as it is.  */
bool number_member (const json_t *object, const char *key, int64_t min,
                    int64_t max, int64_t *number);
/* The same for a number of 32 bits without a sign.  */
bool number_member_u32 (const json_t *object, const char *key,
                        uint32_t *number);
/* The same for a number with a fraction.  */
bool number_member_real (const json_t *object, const char *key, double min,
                         double max, double *number);

#endif
