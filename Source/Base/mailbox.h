// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A queue through which any thread sends typed messages to the thread that runs an ACE reactor.

#pragma once

#include "Base/crashreport.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace Yokepond::Base {

/// Passes messages to a handler on the reactor's thread, in the order in which they were posted.
///
/// The queue has no limit because each producer has a limit of its own (open requests, peer batches).
template<typename Message>
class Mailbox : public ACE_Event_Handler
{
public:
    using Handler = std::function<void(Message &&)>;

    Mailbox(ACE_Reactor &reactor, Handler handler)
        : ACE_Event_Handler(&reactor)
        , m_handler(std::move(handler))
        , m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        reactor.register_handler(this, ACE_Event_Handler::READ_MASK);
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    ~Mailbox() override
    {
        reactor()->remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        ::close(m_descriptor);
    }

    /// Queues @p message. Wakes the reactor only if the queue was empty. Callable from any thread.
    void post(Message message)
    {
        bool wake = false;
        {
            const std::lock_guard lock(m_mutex);
            wake = m_messages.empty();
            m_messages.push_back(std::move(message));
        }
        if (wake) {
            eventfd_write(m_descriptor, 1);
        }
    }

    ACE_HANDLE get_handle() const override
    {
        return m_descriptor;
    }

    int handle_input(ACE_HANDLE) override
    {
        const Activity activity("a message of another thread");
        eventfd_t count = 0;
        eventfd_read(m_descriptor, &count);
        std::vector<Message> messages;
        {
            const std::lock_guard lock(m_mutex);
            messages.swap(m_messages);
        }
        for (Message &message : messages) {
            m_handler(std::move(message));
        }
        return 0;
    }

private:
    Handler m_handler;
    int m_descriptor;
    std::mutex m_mutex;
    std::vector<Message> m_messages;
};

} // namespace Yokepond::Base
