// Package limit keeps every client account within its rate and burst over the
// whole fleet, without a shared counter.
//
// Each account's rate and burst are split over the shares that nodes hold. A
// Bucket accrues this node's part. A node that lacks tokens asks its peers: the
// giver debits first, and the receiver counts only what answers an ask younger
// than the loan term, and spends it at once. Every spend is therefore a debit
// of some bucket at most one loan term earlier, so that over any interval of
// length t the fleet spends at most burst + rate·t, because the buckets
// together hold at most burst − rate·term.
//
// What a request didn't use comes back as if it had never been spent: the
// refund is bounded by the least room the bucket has had since.
//
// # Usage
//
//	bank := limit.New(limit.DefaultSettings())
//	bank.SetShares(now, held, until)
//	bank.SetAccount(now, account)
//	receipt, granted := bank.Spend(now, "schools", 512)
//	bank.Refund(now, "schools", receipt, 200)
package limit
