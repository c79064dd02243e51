#include "auth.h"
#include "cli.h"
#include "doc_keys.h"

#include <errno.h>
#include <fcntl.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

const option_t cli_token_options[] = {
  { "secret-file", OPTION_TEXT, offsetof (cli_settings_t, secret_file), NULL,
    false, 0, 0, NULL, "File with a secret to hash (default: a random one)" },
  { "write-token", OPTION_TEXT, offsetof (cli_settings_t, write_token_file),
    NULL, false, 0, 0, NULL,
    "Write the token to this new file, readable by its owner only" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

/* Writes the token to a new file, in the form that --token-file reads.  */
static bool
write_token (const cli_settings_t *settings, const char *name,
             const char *secret)
{
  char *token = g_strconcat (name, ":", secret, "\n", NULL);
  int fd
      = open (settings->write_token_file, O_WRONLY | O_CREAT | O_EXCL, 0600);
  ssize_t length = (ssize_t)strlen (token);
  bool done = fd >= 0 && write (fd, token, (size_t)length) == length;
  if (!done)
    cli_fail (settings, "%s: %s, expected a new file",
              settings->write_token_file, g_strerror (errno));
  if (fd >= 0)
    close (fd);
  g_free (token);
  return done;
}

int
cli_hash_token (int argc, char **argv)
{
  cli_settings_t settings = { .command = argv[0] };
  char **rest = NULL;
  char *secret = NULL, *hash = NULL;
  int code = 2;
  if (!options_parse (cli_token_options, &settings,
                      "Makes a token for NAME (operator-ANNA or team-BILLING) "
                      "and prints it with the line for the document's "
                      "[access] section, which holds only its hash.",
                      argc, argv, &rest))
    goto out;
  if (g_strv_length (rest) != 1 || doc_key_find (DOC_ACCESS, rest[0]) == NULL)
    {
      code = cli_usage_error (
          &settings, "%s: expected one name operator-NAME or team-NAME",
          rest[0] != NULL ? rest[0] : "NAME");
      goto out;
    }
  code = 1;
  if (settings.secret_file != NULL)
    secret = cli_read_file (&settings, settings.secret_file);
  else
    secret = auth_secret_new ();
  if (secret == NULL)
    goto out;
  g_strstrip (secret);
  if (*secret == '\0' || strpbrk (secret, " \r\n\t") != NULL)
    {
      cli_fail (&settings, "%s: expected a secret of one word",
                settings.secret_file);
      goto out;
    }
  hash = auth_hash_new (secret);
  if (hash == NULL)
    {
      cli_fail (&settings, "the operating system provides no random bytes");
      goto out;
    }
  if (settings.write_token_file == NULL)
    printf ("# token for --token-file; keep it secret\n# %s:%s\n"
            "# line for the section [access]\n",
            rest[0], secret);
  else if (!write_token (&settings, rest[0], secret))
    goto out;
  printf ("%s = %s\n", rest[0], hash);
  code = 0;
out:
  g_free (hash);
  g_free (secret);
  g_strfreev (rest);
  options_clear (cli_token_options, &settings);
  return code;
}
