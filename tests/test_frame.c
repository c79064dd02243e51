#include "test.h"

#include "bytepipe.h"
#include "frame.h"

#include <arpa/inet.h>
#include <string.h>

#define MUTATIONS 20000

static void
append_hello (GByteArray *out, const char *entry)
{
  Magnoliadock__Hello hello = MAGNOLIADOCK__HELLO__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  hello.entry = (char *)entry;
  hello.incarnation = 7;
  hello.zone = "catania";
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_HELLO;
  frame.hello = &hello;
  CU_ASSERT (frame_append (out, &frame));
}

static void
append_hand_over (GByteArray *out, size_t body_length)
{
  static char *headers[] = { "A: b", "Content-Type: text/plain" };
  Magnoliadock__HandOver request = MAGNOLIADOCK__HAND_OVER__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  request.id = 1;
  request.service = "ordering";
  request.path = "/x?y";
  request.n_headers = 2;
  request.headers = headers;
  request.body.data = g_malloc0 (body_length + 1);
  request.body.len = body_length;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_HAND_OVER;
  frame.hand_over = &request;
  CU_ASSERT_EQUAL (frame_append (out, &frame),
                   body_length < FRAME_MAX_BYTES - 100);
  g_free (request.body.data);
}

/* Decodes BYTES in pieces of STEP bytes.  Returns the number of complete
   frames and sets *LAST to the last result.  */
static unsigned
decode_all (const uint8_t *bytes, size_t length, size_t step,
            frame_result_t *last)
{
  frame_reader_t reader;
  unsigned count = 0;
  frame_reader_init (&reader);
  *last = FRAME_INCOMPLETE;
  for (size_t at = 0; at < length && *last != FRAME_INVALID; at += step)
    {
      frame_t *frame;
      frame_reader_feed (&reader, bytes + at, MIN (step, length - at));
      while ((*last = frame_reader_next (&reader, &frame)) == FRAME_READY)
        {
          count++;
          frame_free (frame);
        }
    }
  frame_reader_clear (&reader);
  return count;
}

/* Guards against frames that are lost or duplicated when TCP splits them.  */
static void
test_frame_pieces (void)
{
  static const size_t steps[] = { 1, 2, 3, 5, 64, 100000 };
  GByteArray *out = g_byte_array_new ();
  append_hello (out, "e1");
  append_hand_over (out, 70000);
  append_hello (out, "e2");
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      frame_result_t last;
      CU_ASSERT_EQUAL (decode_all (out->data, out->len, steps[i], &last), 3);
      CU_ASSERT_EQUAL (last, FRAME_INCOMPLETE);
    }
  append_hand_over (out, FRAME_MAX_BYTES);
  g_byte_array_unref (out);
}

/* Guards against faulty input that causes large allocations or endless loops
   or passes on control characters.  */
static void
test_frame_faults (void)
{
  static const struct
  {
    const char *fault;
    uint8_t bytes[16];
    size_t length;
    frame_result_t wanted;
  } rows[] = {
    { "nothing", { 0 }, 0, FRAME_INCOMPLETE },
    { "half a prefix", { 0, 0 }, 2, FRAME_INCOMPLETE },
    { "length 0", { 0, 0, 0, 0 }, 4, FRAME_INVALID },
    { "length 1 MiB + 1", { 0, 0x10, 0, 1 }, 4, FRAME_INVALID },
    { "length 4 GiB", { 255, 255, 255, 255 }, 4, FRAME_INVALID },
    { "field without value", { 0, 0, 0, 1, 0x0a }, 5, FRAME_INVALID },
    { "field longer than frame",
      { 0, 0, 0, 2, 0x0a, 0x7f },
      6,
      FRAME_INVALID },
    { "unknown field only", { 0, 0, 0, 2, 0xf8, 0x07 }, 6, FRAME_INVALID },
    { "unknown body", { 0, 0, 0, 3, 0xf8, 0x07, 1 }, 7, FRAME_INCOMPLETE },
    { "newline in a name",
      { 0, 0, 0, 6, 0x0a, 4, 0x0a, 2, 'a', '\n' },
      10,
      FRAME_INVALID },
    { "HTTP on the peer port", { "GET / HTTP/1.1\r" }, 15, FRAME_INVALID },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      frame_result_t last;
      unsigned count = decode_all (rows[i].bytes, rows[i].length, 16, &last);
      if (last != rows[i].wanted || count != 0)
        printf ("frame fault: %s\n", rows[i].fault);
      CU_ASSERT_EQUAL (last, rows[i].wanted);
      CU_ASSERT_EQUAL (count, 0);
    }
}

/* Guards against crashes and endless loops on damaged frames.  */
static void
test_frame_mutations (void)
{
  GRand *random = g_rand_new_with_seed (test_seed ());
  GByteArray *good = g_byte_array_new ();
  append_hello (good, "catania-e1");
  append_hand_over (good, 200);
  append_hello (good, "catania-e2");
  uint8_t *bytes = g_malloc (good->len);
  for (unsigned n = 0; n < MUTATIONS; n++)
    {
      size_t length = good->len;
      memcpy (bytes, good->data, length);
      gint32 changes = g_rand_int_range (random, 1, 6);
      for (gint32 c = 0; c < changes; c++)
        bytes[g_rand_int_range (random, 0, (gint32)length)]
            = (uint8_t)g_rand_int_range (random, 0, 256);
      if (g_rand_int_range (random, 0, 4) == 0)
        length = (size_t)g_rand_int_range (random, 1, (gint32)length);
      frame_result_t last;
      size_t step = (size_t)g_rand_int_range (random, 1, 400);
      CU_ASSERT (decode_all (bytes, length, step, &last) <= 3 + 200);
    }
  g_free (bytes);
  g_byte_array_unref (good);
  g_rand_free (random);
}

/* Guards against lost, repeated or reordered bytes and against pipes that hold
   more bytes than their limit.  */
static void
test_bytepipe (void)
{
  GRand *random = g_rand_new_with_seed (test_seed ());
  bytepipe_t pipe = { 0 };
  uint8_t next_in = 0, next_out = 0;
  char buffer[9000];
  for (unsigned n = 0; n < 20000; n++)
    {
      size_t length = (size_t)g_rand_int_range (random, 0, sizeof buffer);
      if (g_rand_boolean (random))
        {
          for (size_t i = 0; i < length; i++)
            buffer[i] = (char)(uint8_t)(next_in + i);
          next_in = (uint8_t)(next_in + bytepipe_put (&pipe, buffer, length));
        }
      else
        {
          size_t taken = bytepipe_take (&pipe, buffer, length);
          for (size_t i = 0; i < taken; i++)
            if ((uint8_t)buffer[i] != next_out++)
              CU_FAIL ("byte out of order");
        }
      CU_ASSERT (bytepipe_unread (&pipe) <= BYTEPIPE_MAX_BYTES);
    }
  bytepipe_clear (&pipe);
  pipe.keep = true;
  bytepipe_put (&pipe, "abc", 3);
  CU_ASSERT_EQUAL (bytepipe_take (&pipe, buffer, 10), 3);
  bytepipe_rewind (&pipe);
  CU_ASSERT_EQUAL (bytepipe_take (&pipe, buffer, 2), 2);
  bytepipe_release (&pipe);
  CU_ASSERT_EQUAL (bytepipe_take (&pipe, buffer, 10), 1);
  CU_ASSERT_EQUAL (buffer[0], 'c');
  bytepipe_clear (&pipe);
  g_rand_free (random);
}

static CU_TestInfo frame_tests[] = {
  { "frames split anywhere", test_frame_pieces },
  { "faulty frames", test_frame_faults },
  { "mutated frames", test_frame_mutations },
  { "byte pipe", test_bytepipe },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_frame_suites[] = {
  { "frame", NULL, NULL, NULL, NULL, frame_tests },
  CU_SUITE_INFO_NULL,
};
