#include "auth.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#define DIGEST_BYTES 32
#define SALT_BYTES 16
/* Both limit the time that an entry's only thread spends on hashing guessed
   tokens.  */
#define MAX_WRONG_TOKENS_PER_S 5
#define MAX_ITERATIONS 20000

struct auth
{
  const clk_t *clock;
  bool loopback;
  char *bootstrap_hash;
  doc_t *doc;
  bool has_tokens;
  bool has_operators;
  GHashTable *verified_tokens;          /* set of digests made by cache_key */
  unsigned char hmac_key[DIGEST_BYTES]; /* of cache_key */
  int64_t counted_second; /* clock second that WRONG_COUNT belongs to */
  unsigned wrong_count;
};

static bool
random_bytes (unsigned char *out, size_t length)
{
  return getrandom (out, length, 0) == (ssize_t)length;
}

static void
hmac (const unsigned char *key, size_t key_length, const void *data,
      size_t length, unsigned char out[DIGEST_BYTES])
{
  GHmac *state = g_hmac_new (G_CHECKSUM_SHA256, key, key_length);
  g_hmac_update (state, data, (gssize)length);
  gsize size = DIGEST_BYTES;
  g_hmac_get_digest (state, out, &size);
  g_hmac_unref (state);
}

/* Computes the first block of PBKDF2 (RFC 8018).  The HMAC state with the key
   is copied for each iteration, which saves half of the work.  */
static void
pbkdf2 (const char *secret, const unsigned char salt[SALT_BYTES],
        unsigned iterations, unsigned char out[DIGEST_BYTES])
{
  GHmac *keyed_state = g_hmac_new (
      G_CHECKSUM_SHA256, (const unsigned char *)secret, strlen (secret));
  unsigned char block[SALT_BYTES + 4] = { 0 };
  memcpy (block, salt, SALT_BYTES);
  block[SALT_BYTES + 3] = 1;
  unsigned char iteration_digest[DIGEST_BYTES];
  for (unsigned i = 0; i < iterations; i++)
    {
      GHmac *state = g_hmac_copy (keyed_state);
      if (i == 0)
        g_hmac_update (state, block, sizeof block);
      else
        g_hmac_update (state, iteration_digest, sizeof iteration_digest);
      gsize size = DIGEST_BYTES;
      g_hmac_get_digest (state, iteration_digest, &size);
      g_hmac_unref (state);
      for (unsigned b = 0; b < DIGEST_BYTES; b++)
        out[b] = i == 0 ? iteration_digest[b] : out[b] ^ iteration_digest[b];
    }
  g_hmac_unref (keyed_state);
}

/* Compares in a time that does not depend on where the arguments differ.  */
static bool
equal_constant_time (const unsigned char *a, const unsigned char *b,
                     size_t length)
{
  volatile unsigned char difference = 0;
  for (size_t i = 0; i < length; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

static void
to_hex (const unsigned char *bytes, size_t length, char *out)
{
  for (size_t i = 0; i < length; i++)
    g_snprintf (out + 2 * i, 3, "%02x", bytes[i]);
}

static bool
from_hex (const char *text, unsigned char *out, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = high < 0 ? -1 : g_ascii_xdigit_value (text[2 * i + 1]);
      if (low < 0)
        return false;
      out[i] = (unsigned char)(high * 16 + low);
    }
  return true;
}

/* Parses HASH, "sha256:ITERATIONS:SALT:DIGEST".  */
static bool
hash_parse (const char *hash, unsigned *iterations,
            unsigned char salt[SALT_BYTES], unsigned char digest[DIGEST_BYTES])
{
  static const char prefix[] = "sha256:";
  if (!g_str_has_prefix (hash, prefix))
    return false;
  char *end;
  guint64 count = g_ascii_strtoull (hash + strlen (prefix), &end, 10);
  if (count < 1 || count > MAX_ITERATIONS || *end != ':')
    return false;
  const char *rest = end + 1;
  if (strlen (rest) != 2 * SALT_BYTES + 1 + 2 * DIGEST_BYTES
      || rest[2 * SALT_BYTES] != ':')
    return false;
  *iterations = (unsigned)count;
  return from_hex (rest, salt, SALT_BYTES)
         && from_hex (rest + 2 * SALT_BYTES + 1, digest, DIGEST_BYTES);
}

char *
auth_hash_new (const char *secret)
{
  unsigned char salt[SALT_BYTES], digest[DIGEST_BYTES];
  char salt_hex[2 * SALT_BYTES + 1], digest_hex[2 * DIGEST_BYTES + 1];
  if (!random_bytes (salt, sizeof salt))
    return NULL;
  pbkdf2 (secret, salt, AUTH_ITERATIONS, digest);
  to_hex (salt, sizeof salt, salt_hex);
  to_hex (digest, sizeof digest, digest_hex);
  return g_strdup_printf ("sha256:%u:%s:%s", AUTH_ITERATIONS, salt_hex,
                          digest_hex);
}

char *
auth_secret_new (void)
{
  unsigned char bytes[DIGEST_BYTES];
  if (!random_bytes (bytes, sizeof bytes))
    return NULL;
  char *text = g_malloc (2 * DIGEST_BYTES + 1);
  to_hex (bytes, sizeof bytes, text);
  return text;
}

bool
auth_hash_valid (const char *hash)
{
  unsigned iterations;
  unsigned char salt[SALT_BYTES], digest[DIGEST_BYTES];
  return hash_parse (hash, &iterations, salt, digest);
}

bool
auth_hash_matches (const char *hash, const char *secret)
{
  unsigned iterations;
  unsigned char salt[SALT_BYTES], digest[DIGEST_BYTES], own[DIGEST_BYTES];
  if (!hash_parse (hash, &iterations, salt, digest))
    return false;
  pbkdf2 (secret, salt, iterations, own);
  return equal_constant_time (own, digest, sizeof own);
}

auth_t *
auth_new (const clk_t *clock, bool loopback, const char *bootstrap_hash)
{
  auth_t *auth = g_new0 (auth_t, 1);
  auth->clock = clock;
  auth->loopback = loopback;
  auth->bootstrap_hash = g_strdup (bootstrap_hash);
  auth->verified_tokens
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  /* Without random numbers the key is all zeros.  That only makes it easier to
     guess tokens from a memory image of this process.  */
  if (!random_bytes (auth->hmac_key, sizeof auth->hmac_key))
    memset (auth->hmac_key, 0, sizeof auth->hmac_key);
  return auth;
}

void
auth_free (auth_t *auth)
{
  if (auth == NULL)
    return;
  g_hash_table_destroy (auth->verified_tokens);
  doc_unref (auth->doc);
  g_free (auth->bootstrap_hash);
  g_free (auth);
}

void
auth_set_document (auth_t *auth, doc_t *doc)
{
  doc_unref (auth->doc);
  auth->doc = doc != NULL ? doc_ref (doc) : NULL;
  /* The cache may hold tokens that DOC revokes.  */
  g_hash_table_remove_all (auth->verified_tokens);
  const doc_section_t *access = doc_section (doc, "access");
  const char *text = access != NULL ? doc_section_text (access) : "";
  char **lines = g_strsplit (text, "\n", -1);
  auth->has_tokens = auth->has_operators = false;
  for (char **line = lines; *line != NULL; line++)
    {
      const char *start = *line + strspn (*line, " \t");
      bool is_operator = g_str_has_prefix (start, "operator-");
      auth->has_operators |= is_operator;
      auth->has_tokens |= is_operator || g_str_has_prefix (start, "team-");
    }
  g_strfreev (lines);
}

bool
auth_enabled (const auth_t *auth)
{
  return !auth->loopback || auth->has_tokens || auth->bootstrap_hash != NULL;
}

static bool
below_wrong_token_limit (auth_t *auth)
{
  int64_t now_s = clk_now_ms (auth->clock) / 1000;
  if (now_s != auth->counted_second)
    {
      auth->counted_second = now_s;
      auth->wrong_count = 0;
    }
  return auth->wrong_count < MAX_WRONG_TOKENS_PER_S;
}

/* Returns the hashes of NAME, separated by ';', or NULL if there are none.  */
static const char *
hashes_of (const auth_t *auth, const char *name)
{
  if (!auth->has_operators && auth->bootstrap_hash != NULL
      && strcmp (name, "operator-bootstrap") == 0)
    return auth->bootstrap_hash;
  const doc_section_t *access = doc_section (auth->doc, "access");
  return access != NULL ? doc_section_value (access, name) : NULL;
}

/* Computes the key of TOKEN in the cache of verified tokens, which thereby
   holds no tokens in the clear.  */
static void
cache_key (const auth_t *auth, const char *token,
           char hex[2 * DIGEST_BYTES + 1])
{
  unsigned char digest[DIGEST_BYTES];
  hmac (auth->hmac_key, sizeof auth->hmac_key, token, strlen (token), digest);
  to_hex (digest, sizeof digest, hex);
}

static bool
any_hash_matches (const char *hashes, const char *secret)
{
  char **list = g_strsplit (hashes, ";", -1);
  bool matches = false;
  for (char **hash = list; *hash != NULL && !matches; hash++)
    matches = auth_hash_matches (g_strstrip (*hash), secret);
  g_strfreev (list);
  return matches;
}

err_kind_t
auth_check (auth_t *auth, const char *header, auth_identity_t *identity)
{
  *identity = (auth_identity_t){ .role = AUTH_NONE };
  if (!auth_enabled (auth))
    {
      identity->role = AUTH_OPERATOR;
      return ERR_OK;
    }
  if (auth->doc == NULL && auth->bootstrap_hash == NULL)
    return ERR_NO_CONFIG;
  if (header == NULL || !g_str_has_prefix (header, "Bearer "))
    return ERR_UNAUTHENTICATED;
  const char *token = header + strlen ("Bearer ");
  const char *colon = strchr (token, ':');
  if (colon == NULL || colon - token >= (ptrdiff_t)sizeof identity->name)
    return ERR_UNAUTHENTICATED;
  char name[sizeof identity->name];
  g_strlcpy (name, token, (gsize)(colon - token) + 1);
  char key[2 * DIGEST_BYTES + 1];
  cache_key (auth, token, key);
  /* Verified tokens stay usable while guesses use up the limit.  */
  if (!g_hash_table_contains (auth->verified_tokens, key))
    {
      if (!below_wrong_token_limit (auth))
        return ERR_QUOTA;
      const char *hashes = hashes_of (auth, name);
      if (hashes == NULL || !any_hash_matches (hashes, colon + 1))
        {
          auth->wrong_count++;
          return ERR_UNAUTHENTICATED;
        }
      g_hash_table_add (auth->verified_tokens, g_strdup (key));
    }
  bool is_operator = g_str_has_prefix (name, "operator-");
  identity->role = is_operator ? AUTH_OPERATOR : AUTH_TEAM;
  g_strlcpy (identity->name, strchr (name, '-') + 1, sizeof identity->name);
  return ERR_OK;
}

bool
auth_may_edit (const auth_identity_t *identity, const doc_section_t *before,
               const doc_section_t *after)
{
  if (identity->role == AUTH_OPERATOR)
    return true;
  return identity->role == AUTH_TEAM && before != NULL && after != NULL
         && strcmp (doc_section_owner (before), identity->name) == 0
         && strcmp (doc_section_owner (after), identity->name) == 0;
}

bool
auth_may_act_for (const auth_identity_t *identity, const char *team)
{
  return identity->role == AUTH_OPERATOR
         || (identity->role == AUTH_TEAM
             && g_strcmp0 (team, identity->name) == 0);
}

bool
auth_may_force (const auth_identity_t *identity)
{
  return identity->role == AUTH_OPERATOR;
}
