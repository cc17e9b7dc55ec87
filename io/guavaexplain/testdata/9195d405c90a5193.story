08:46:03.114 edge-sk-north-a-4 item run cause=status 500 due=17929 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-b8773f3ec8
    known for 98ms: configuration in force accounts=8 routes=16 version=41
    known for 1.265s: coordinator changed before=edge-sk-north-a-3 held=0 service=bara48b
    known for 1.249s: coordinator changed before=edge-sk-north-a-5 held=14 service=lezi52a
    known for 32.951s: server address=10.2.64.25:8325 leaving=false server=i-b8773f3ec8 service=lezi52a
    known for 51.103s: start domain=sk-north-a front=10.1.0.35:8328
    known for 2.004s: store regained outage=2345 table=jobs
    known for 480ms: store regained outage=5475 table=op
    known for 1.902s: store regained outage=4941 table=servers
    known for 5.385s: store lost error=follow vms: platform unavailable: call the store: fasthttp: timeout position=210 table=vms
08:46:14.635 edge-sk-north-c-1 item run cause=status 500 due=6408 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-5777b8b49b
    known for 7.537s: configuration in force accounts=8 routes=16 version=41
    known for 6.328s: coordinator changed held=0 service=bara48b
    known for 7.23s: coordinator changed held=0 service=lezi52a
    known for 7.539s: server address=10.1.64.9:8325 leaving=false server=i-5777b8b49b service=lezi52a
    known for 7.553s: start domain=sk-north-c front=10.3.0.18:8328
08:46:26.077 edge-sk-north-c-1 item run cause=status 500 due=-5033 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-c1fec1d3cc
    known for 18.98s: server address=10.1.64.6:8325 leaving=false server=i-c1fec1d3cc service=lezi52a
08:46:26.173 edge-sk-north-c-1 item run cause=status 500 due=-5129 events=0 item=9195d405c90a5193 job=ccb62bf40132380d outcome=rejected server=i-b8773f3ec8
    known for 19.076s: server address=10.2.64.25:8325 leaving=false server=i-b8773f3ec8 service=lezi52a
08:46:26.173 edge-sk-north-c-1 item given up cause=failed at each try item=9195d405c90a5193 job=ccb62bf40132380d
