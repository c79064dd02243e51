#include "number.h"

bool
number_read (const json_t *value, int64_t min, int64_t max, int64_t *number)
{
  if (json_is_integer (value))
    {
      json_int_t integer = json_integer_value (value);
      if (integer < min || integer > max)
        return false;
      *number = integer;
      return true;
    }
  double real = json_real_value (value);
  if (!json_is_real (value) || !(real >= (double)min && real <= (double)max))
    return false;
  *number = (int64_t)real;
  return true;
}

bool
number_member (const json_t *object, const char *key, int64_t min, int64_t max,
               int64_t *number)
{
  const json_t *value = json_object_get (object, key);
  return value == NULL || number_read (value, min, max, number);
}

bool
number_member_u32 (const json_t *object, const char *key, uint32_t *number)
{
  int64_t wide = *number;
  if (!number_member (object, key, 0, UINT32_MAX, &wide))
    return false;
  *number = (uint32_t)wide;
  return true;
}

bool
number_member_real (const json_t *object, const char *key, double min,
                    double max, double *number)
{
  const json_t *value = json_object_get (object, key);
  double real = json_number_value (value);
  if (value == NULL)
    return true;
  if (!json_is_number (value) || !(real >= min && real <= max))
    return false;
  *number = real;
  return true;
}
