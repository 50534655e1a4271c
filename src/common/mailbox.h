// Typed message queue between threads. Any thread may send; one task (a thread with a main context)
// receives, in the order of sending.
#pragma once

#include <functional>
#include <glib.h>
#include <mutex>
#include <vector>

namespace bamboograde::common {

// The receiving task attaches the mailbox to its main context. Earlier messages are queued.
// The mailbox must outlive the senders and be destroyed on the receiving task or after it ended.
template<typename message>
class mailbox
{
public:
  using handler = std::function<void(message&&)>;

  mailbox() = default;
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;
  ~mailbox() { Detach(); }

  void Attach(GMainContext* aContext, handler aHandler)
  {
    mHandler = std::move(aHandler);
    std::scoped_lock lock(mMutex);
    mSource = g_source_new(&kFunctions, sizeof(mailbox_source));
    reinterpret_cast<mailbox_source*>(mSource)->owner = this;
    g_source_attach(mSource, aContext);
    if (!mPending.empty()) {
      g_source_set_ready_time(mSource, 0);
    }
  }

  void Detach()
  {
    std::scoped_lock lock(mMutex);
    if (mSource != nullptr) {
      g_source_destroy(mSource);
      g_source_unref(mSource);
      mSource = nullptr;
    }
  }

  void Send(message aMessage)
  {
    std::scoped_lock lock(mMutex);
    mPending.push_back(std::move(aMessage));
    // One wake-up serves all messages that are sent before the receiver runs.
    if (mPending.size() == 1 && mSource != nullptr) {
      g_source_set_ready_time(mSource, 0);
    }
  }

private:
  struct mailbox_source
  {
    GSource base;
    mailbox* owner;
  };

  static gboolean Dispatch(GSource* aSource, GSourceFunc, gpointer)
  {
    reinterpret_cast<mailbox_source*>(aSource)->owner->Drain();
    return G_SOURCE_CONTINUE;
  }

  void Drain()
  {
    std::vector<message> batch;
    {
      std::scoped_lock lock(mMutex);
      g_source_set_ready_time(mSource, -1);
      batch.swap(mPending);
    }
    for (message& item : batch) {
      mHandler(std::move(item));
    }
  }

  static inline GSourceFuncs kFunctions = { nullptr, nullptr, &mailbox::Dispatch,
                                            nullptr, nullptr, nullptr };

  std::mutex mMutex;
  std::vector<message> mPending;
  GSource* mSource = nullptr;
  handler mHandler;
};

} // namespace bamboograde::common
