/// Limits retries to a share of what has recently succeeded.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace cuminscale
{

/// One budget for each member: every success earns a fraction of a retry, every retry spends one. Under a flood of failures
/// the budget runs dry, so retries can't multiply the load.
class RetryBudget
{
public:
    /// A request of the member has succeeded.
    void earn(const std::string &member)
    {
        double &budget = m_budgets.try_emplace(member, Start).first->second;
        budget = std::min(Most, budget + EarnedBySuccess);
    }

    /// Whether the member may retry now; spends if so.
    bool spend(const std::string &member)
    {
        double &budget = m_budgets.try_emplace(member, Start).first->second;
        if (budget < 1) {
            return false;
        }
        budget -= 1;
        return true;
    }

private:
    static constexpr double EarnedBySuccess = 0.1; ///< Retries add at most a tenth to the load.
    static constexpr double Start = 3;
    static constexpr double Most = 20;

    std::map<std::string, double> m_budgets;
};

} // namespace cuminscale
