#ifndef MAGNOLIADOCK_SETTINGS_PAGE_H
#define MAGNOLIADOCK_SETTINGS_PAGE_H

#include <glib.h>

/* NAME
     settings_page - the page docs/settings.md, made from the option tables and
     the keys of the configuration document  */

/* Appends the page to OUT.  */
void settings_page_append (GString *out);

#endif
