package queue_test

import (
	"fmt"
	"testing"

	"mimosatide.example/mimosatide/internal/queue"
)

func noneBlocked(string) bool { return false }

func fill(requests *queue.Queue, account string, weight float64, count int) {
	for index := range count {
		requests.Push(queue.Item{ID: fmt.Sprintf("%s-%d", account, index), Account: account, Weight: weight, Tokens: 100})
	}
}

func TestAccountsAreServedInProportionToWeight(t *testing.T) {
	requests := queue.New()
	fill(requests, "sponsors", 3, 400)
	fill(requests, "free", 1, 400)
	served := map[string]int{}
	for range 400 {
		item, _ := requests.Next(noneBlocked)
		served[item.Account]++
	}
	if served["free"] < 99 || served["free"] > 101 {
		t.Fatalf("served by account = %v, want 100 ± 1 of 400 for the account with a quarter of the weight", served)
	}
}

// TestIdleAccountGainsNoCredit guards against serving an account ahead of the others
// because it had no requests before: it arrives after 100 requests of a busy account.
func TestIdleAccountGainsNoCredit(t *testing.T) {
	requests := queue.New()
	fill(requests, "busy", 1, 200)
	for range 100 {
		requests.Next(noneBlocked)
	}
	fill(requests, "late", 1, 100)
	served := map[string]int{}
	for range 100 {
		item, _ := requests.Next(noneBlocked)
		served[item.Account]++
	}
	if served["late"] > 51 {
		t.Fatalf("served by account = %v, want at most 51 for the account that was idle", served)
	}
}

// TestNextSkipsBlockedAccount guards against a blocked account that holds up the others.
func TestNextSkipsBlockedAccount(t *testing.T) {
	requests := queue.New()
	fill(requests, "a", 1, 1)
	fill(requests, "b", 1, 1)
	item, _ := requests.Next(func(account string) bool { return account == "a" })
	if item.Account != "b" {
		t.Fatalf("Next returned a request of account %s, want b", item.Account)
	}
}

// TestPushFrontRestoresFirstPosition guards against a request that loses its turn
// because it could not run when Next returned it.
func TestPushFrontRestoresFirstPosition(t *testing.T) {
	requests := queue.New()
	fill(requests, "a", 1, 3)
	first, _ := requests.Next(noneBlocked)
	requests.PushFront(first)
	if again, _ := requests.Next(noneBlocked); again.ID != first.ID {
		t.Fatalf("Next = %s, want the request that was put back", again.ID)
	}
}

func TestNextOmitsRemovedRequest(t *testing.T) {
	requests := queue.New()
	fill(requests, "a", 1, 2)
	if !requests.Remove("a-0") || requests.Remove("a-0") {
		t.Fatal("Remove did not return true once and then false")
	}
	if item, _ := requests.Next(noneBlocked); item.ID != "a-1" {
		t.Fatalf("Next = %s, want a-1", item.ID)
	}
}
