#ifndef MAGNOLIADOCK_AUTH_H
#define MAGNOLIADOCK_AUTH_H

#include "clk.h"
#include "doc.h"
#include "error.h"

#include <stdbool.h>

/* NAME
     auth - authentication by tokens, and what their holders may do

   A token is "NAME:SECRET", where NAME is a key of the document's [access]
   section ("operator-anna", "team-billing").  The document holds only salted
   hashes "sha256:ITERATIONS:SALT:DIGEST" (PBKDF2 with HMAC-SHA256).  */

/* Generated secrets are 32 random bytes, so the iterations only have to slow
   down the guessing of secrets that people chose.  One check takes a few
   milliseconds of the entry's only thread.  */
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
  char name[64]; /* of the operator or team; "" if tokens are not checked */
} auth_identity_t;

typedef struct auth auth_t;

/* LOOPBACK says whether the public listener is reachable from this machine
   only.  If so, everybody is an operator while the document has no token and
   BOOTSTRAP_HASH is NULL; else tokens are always checked.  BOOTSTRAP_HASH
   (copied) is the hash accepted for "operator-bootstrap" while the document
   has no operator token.  CLOCK stays the caller's.  */
auth_t *auth_new (const clk_t *clock, bool loopback,
                  const char *bootstrap_hash);
void auth_free (auth_t *auth);

/* Uses the [access] section of DOC from now on (NULL: no document yet) and
   keeps a reference to DOC.  */
void auth_set_document (auth_t *auth, doc_t *doc);

/* Returns whether tokens are checked; the caller logs when that changes.  */
bool auth_enabled (const auth_t *auth);

/* Identifies the sender of the Authorization header HEADER ("Bearer TOKEN",
   may be NULL).  Returns ERR_OK, ERR_UNAUTHENTICATED, ERR_NO_CONFIG if no
   token can be checked yet, or ERR_QUOTA after too many wrong tokens in this
   second.  */
err_kind_t auth_check (auth_t *auth, const char *header,
                       auth_identity_t *identity);

/* Whether IDENTITY may change a section from BEFORE to AFTER (NULL: it does
   not exist).  A team may change only an existing section that it owns and
   still owns afterwards.  */
bool auth_may_edit (const auth_identity_t *identity,
                    const doc_section_t *before, const doc_section_t *after);
/* Whether IDENTITY may submit and cancel jobs of TEAM: a team only its own. */
bool auth_may_act_for (const auth_identity_t *identity, const char *team);
/* Whether IDENTITY may override the check against the current use
   (doc_check_use): only operators.  */
bool auth_may_force (const auth_identity_t *identity);

/* Returns the hash of SECRET with a random salt; free with g_free.  NULL: no
   random numbers.  */
char *auth_hash_new (const char *secret);
bool auth_hash_valid (const char *hash);
bool auth_hash_matches (const char *hash, const char *secret);
/* Returns a random secret in hex; free with g_free.  NULL: no random numbers.
 */
char *auth_secret_new (void);

#endif
