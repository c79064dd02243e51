#include <stdio.h>

int
main (void)
{
  puts ("standin: no role given");
  return 2;
}
