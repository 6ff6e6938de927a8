/// Limits retries to a fraction of the requests that have recently succeeded.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace cuminscale
{

/// A token bucket for each member: every success deposits a fraction of a token, every retry or hedged request withdraws one.
/// When most requests fail, the tokens run out, so that retries do not multiply the load.
class RetryBudget
{
public:
    /// Credits a successful request of the member.
    void deposit(const std::string &member)
    {
        double &balance = m_balances.try_emplace(member, InitialBalance).first->second;
        balance = std::min(MaxBalance, balance + DepositPerSuccess);
    }

    /// Withdraws the token for one retry of the member; returns false when none is left.
    bool tryWithdraw(const std::string &member)
    {
        double &balance = m_balances.try_emplace(member, InitialBalance).first->second;
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }

private:
    static constexpr double DepositPerSuccess = 0.1; ///< In steady state, retries add at most a tenth to the load.
    static constexpr double InitialBalance = 3;
    static constexpr double MaxBalance = 20;

    std::map<std::string, double> m_balances;
};

} // namespace cuminscale
