#ifndef MAGNOLIADOCK_AUTH_H
#define MAGNOLIADOCK_AUTH_H

#include "clk.h"
#include "doc.h"
#include "error.h"

#include <stdbool.h>

/* NAME
     auth - who a token belongs to and what its holder may do

   A token is "NAME:SECRET", where NAME is a key of the document's [access]
   section ("operator-anna", "team-billing").  The document holds only salted
   hashes "sha256:ITERATIONS:SALT:HASH" (PBKDF2 with HMAC-SHA256).  */

/* Secrets are 32 random bytes, so the iterations only have to slow down
   guessing of secrets that people chose; one check takes a few milliseconds
   of the entry's only thread.  */
#define AUTH_ITERATIONS 2000U

typedef enum
{
  AUTH_NONE,
  AUTH_TEAM,
  AUTH_OPERATOR
} auth_role_t;

typedef struct
{
  auth_role_t role;
  char name[64]; /* of the operator or team; "" when checks are off */
} auth_who_t;

typedef struct auth auth_t;

/* LOOPBACK says whether the public listener is reachable from this machine
   only: then, and only then, everybody is an operator while the document has
   no token.  BOOTSTRAP_HASH (may be NULL, copied) is accepted for
   "operator-bootstrap" while the document has no operator token.  CLOCK stays
   the caller's.  */
auth_t *auth_new (const clk_t *clock, bool loopback,
                  const char *bootstrap_hash);
void auth_free (auth_t *auth);

/* Takes the [access] section of DOC (NULL: no document yet).  */
void auth_set_document (auth_t *auth, doc_t *doc);

/* Returns whether tokens are checked; the caller logs a change.  */
bool auth_enabled (const auth_t *auth);

/* Finds out who sent HEADER ("Bearer TOKEN", may be NULL).  Returns ERR_OK,
   ERR_UNAUTHENTICATED, ERR_NO_CONFIG if no document is known yet, or
   ERR_QUOTA after too many wrong tokens in a second.  */
err_kind_t auth_check (auth_t *auth, const char *header, auth_who_t *who);

/* A team edits only existing sections that it owns and keeps owning.  BEFORE
   and AFTER may be NULL.  */
bool auth_may_edit (const auth_who_t *who, const doc_section_t *before,
                    const doc_section_t *after);
/* A team acts only for its own jobs.  */
bool auth_may_act_for (const auth_who_t *who, const char *team);
/* Only operators override a check of the present use.  */
bool auth_may_force (const auth_who_t *who);

/* Returns the hash of SECRET with a random salt; free with g_free.  */
char *auth_hash_new (const char *secret);
bool auth_hash_valid (const char *hash);
bool auth_hash_matches (const char *hash, const char *secret);
/* Returns a random secret; free with g_free.  NULL: no random numbers.  */
char *auth_secret_new (void);

#endif
