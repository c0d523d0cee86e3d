/* config-reader.h -- the operator's configuration and evacuations, followed in a thread of its own

   A configuration has to be in force within seconds, whatever else the process is doing. The
   engine of an entry can be that late when its processor share is used up, and HTTP threads
   would go on with the former configuration. The reader therefore shares no event loop with it. */

#ifndef MD_CONFIG_READER_H
#define MD_CONFIG_READER_H

#include "daemon.h"
#include "evacuation.h"

typedef struct MdConfigReader MdConfigReader;

/* md_config_reader_start: follow the configuration in the store of the settings until
   md_config_reader_stop. on_change is called from the reader's thread after a configuration has
   come into force, or a newer set of evacuated domains. settings is used during the call only.
   Returns NULL with error set on failure. */
MdConfigReader *md_config_reader_start (const MdSettings *settings, void (*on_change) (void *user),
                                        void *user, MdError *error);

/* md_config_reader_stop: end the thread and free the reader and the configuration. NULL is
   allowed. */
void md_config_reader_stop (MdConfigReader *reader);

/* md_config_reader_routes: the configuration in force, NULL if there is none yet, or the evacuated
   domains are not known yet: no job can be accepted before both are. To be called, and the result
   to be used, in a read-side critical section of RCU (urcu-memb). */
const MdRoutes *md_config_reader_routes (const MdConfigReader *reader);

/* md_config_reader_evacuated: the failure domains that are evacuated, NULL if that is not known
   yet. To be called and used in a read-side critical section too. */
const MdEvacuated *md_config_reader_evacuated (const MdConfigReader *reader);

/* md_config_reader_loaded: whether there is a configuration and the evacuated domains are known. */
bool md_config_reader_loaded (const MdConfigReader *reader);

/* md_config_reader_age: time since both were last known to be the newest, -MD_MS
   if it never was. A caller that also uses the configuration reads its age first: what it
   finds then is at most this old. */
MdTime md_config_reader_age (const MdConfigReader *reader);

#endif
