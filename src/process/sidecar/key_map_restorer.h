// Writes the key maps again after the platform has returned from an older copy of its rows.
//
// Of the daemons that know a map, the owners try first, one after the other, so that usually one of
// them writes it and the others hear of that.
#pragma once

#include "process/sidecar/key_map_editor.h"

namespace bamboograde::process::sidecar {

class key_map_restorer
{
public:
  key_map_restorer(runtime& aRuntime, key_map_editor& aEditor)
    : mRuntime(aRuntime)
    , mEditor(aEditor)
  {
  }
  // Must be called every few tens of milliseconds.
  void Tick();

private:
  void RemoveFormerRows();
  // When it is the turn of this daemon.
  common::boot_time TurnFor(const version::key_map& aMap) const;

  runtime& mRuntime;
  key_map_editor& mEditor;
  // By service: when this daemon writes the map unless it has heard of one of the present era.
  std::map<common::service_name, common::boot_time> mTurns;
  // By service whose map this daemon has written: when it looks for rows of earlier eras.
  std::map<common::service_name, common::boot_time> mRemoveAt;
};

} // namespace bamboograde::process::sidecar
