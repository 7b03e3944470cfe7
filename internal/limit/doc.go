// Package limit enforces every client account's token rate and burst over the
// whole fleet without a shared counter.
//
// Each account's rate and burst are split over the shares that nodes hold, and a
// Bucket accrues this node's part. A node that lacks tokens borrows them from its
// peers: the lender debits its bucket first, and the borrower counts only replies
// that arrive within the loan term, and spends them at once. Every spend is
// therefore a debit of some bucket at most one loan term earlier. All buckets
// together hold at most burst − rate·term, so the fleet spends at most
// burst + rate·t in any interval of length t.
//
// Unused tokens are refunded as if they had never been debited: a refund is
// limited to the least headroom that the bucket has had since the debit.
//
// # Usage
//
//	limiter := limit.New(limit.DefaultSettings())
//	limiter.SetShares(now, held, validUntil)
//	limiter.SetAccount(now, account)
//	receipt, granted := limiter.Spend(now, "schools", 512)
//	limiter.Refund(now, "schools", receipt, 200)
package limit
